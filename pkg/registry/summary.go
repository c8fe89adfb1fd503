package registry

import "github.com/cespare/xxhash/v2"

// summaryBuckets is the number of buckets into which the entries are divided by
// the hash of their node, so that two registries exchange the entries of a few
// buckets instead of all. With 7,200 nodes a bucket has about 56 entries.
const summaryBuckets = 128

// bucket returns the bucket of a node.
func bucket(node string) int { return int(xxhash.Sum64String(node) % summaryBuckets) }

// Summary returns the digest of each bucket. Its size does not depend on the
// number of entries.
func (r *Registry) Summary() []uint64 {
	return append([]uint64(nil), r.buckets[:]...)
}

// Differing returns the buckets whose digest differs from that in the summary of
// another registry. A summary of another length differs in all buckets.
func (r *Registry) Differing(summary []uint64) []int {
	var all []int
	for i, d := range r.buckets {
		if len(summary) != summaryBuckets || summary[i] != d {
			all = append(all, i)
		}
	}
	return all
}

// InBuckets returns the entries in the given buckets, sorted by node.
func (r *Registry) InBuckets(buckets []int) []Entry {
	var wanted [summaryBuckets]bool
	for _, b := range buckets {
		if b >= 0 && b < summaryBuckets {
			wanted[b] = true
		}
	}
	var all []Entry
	for _, e := range r.All() {
		if wanted[bucket(e.Node)] {
			all = append(all, e)
		}
	}
	return all
}

// NewerThan returns the entries in the given buckets that are missing from
// received or newer than there.
func (r *Registry) NewerThan(received []Entry, buckets []int) []Entry {
	known := make(map[string]Entry, len(received))
	for _, e := range received {
		known[e.Node] = e
	}
	var all []Entry
	for _, e := range r.InBuckets(buckets) {
		if k, ok := known[e.Node]; !ok || e.Newer(k) {
			all = append(all, e)
		}
	}
	return all
}
