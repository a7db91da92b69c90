"""The leader's scheduler: places tasks on VMs, sends orders to VMs and handles the ends of runs."""
