"""The adapters: twisted, sockets and clocks. No decisions are made here."""
