"""The daemon's transports, clients and threads round its decisions."""
