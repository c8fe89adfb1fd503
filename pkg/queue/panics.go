package queue

// panicStaleHandle is the panic message for a handle whose item has left the
// queue.
const panicStaleHandle = "queue: handle of an item that is not queued"
