"""Links between nodes, the message registry and codec, and the component interfaces.

Depends on `runtime` only; all higher packages may import it.
"""
