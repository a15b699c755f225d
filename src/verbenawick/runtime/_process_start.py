"""When this process began; to be imported before the modules that take long."""

from verbenawick.runtime._clock import BootClock

# By `BootClock`, which also counts while the VM is suspended.
PROCESS_BEGAN_AT = BootClock().now()
