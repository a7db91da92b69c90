"""RPC between caroblead's own processes: thrift structs in length-prefixed frames over TCP."""
