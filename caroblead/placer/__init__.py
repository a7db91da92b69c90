"""The placer: owns shards of VMs in its availability zone and decides what runs on them."""
