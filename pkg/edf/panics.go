package edf

// panicStaleHandle is the panic message for a handle whose item has left the queue.
const panicStaleHandle = "edf: handle of an item that is not queued"
