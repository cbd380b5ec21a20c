"""The adapters to Twisted, sockets and clocks. No decisions are made here."""
