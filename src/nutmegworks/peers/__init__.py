"""Messages between daemons: MessagePack over HTTP, authenticated."""
