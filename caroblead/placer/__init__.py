"""The placer: owns shards of the VMs in its availability zone and schedules work on them."""
