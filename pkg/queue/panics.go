package queue

// panicHandle reports a handle of an item that has left the queue.
const panicHandle = "queue: handle of an item that is not queued"
