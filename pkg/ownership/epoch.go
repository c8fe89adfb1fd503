package ownership

// offsetBits is the width of the part of an epoch that holds the log offset.
// The upper 31 bits hold the log generation.
const offsetBits = 33

// maxGeneration and maxOffset bound what an epoch can hold. A log outside
// these bounds yields no table.
const (
	maxGeneration = 1<<(64-offsetBits) - 1
	maxOffset     = 1<<offsetBits - 2
)

// Epoch returns the epoch of the table whose record stands at offset in the
// given log generation. Epochs grow with the log and with its generations, so
// two nodes can compare them without the log.
func Epoch(generation, offset uint64) uint64 { return generation<<offsetBits | (offset + 1) }

// Base returns the epoch from which the first table of a log generation is
// made.
func Base(generation uint64) uint64 { return generation << offsetBits }

// Generation returns the log generation of an epoch.
func Generation(epoch uint64) uint64 { return epoch >> offsetBits }
