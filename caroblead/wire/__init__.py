"""Calls between our own processes: thrift structs in length-framed streams."""
