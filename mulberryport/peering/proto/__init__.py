"""Generated code of the peer protocol."""
