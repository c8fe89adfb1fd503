// Package keyed defines the records of topics that keep the newest value of
// each key.
package keyed

// Record is the newest value of one key. A record without a value drops the
// key.
type Record struct {
	Key   string
	Value []byte
}
