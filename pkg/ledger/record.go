package ledger

import (
	"time"

	"github.com/papayapath/papayapath/pkg/message"
)

// record is what is known of one key. Its zero value is a free place.
type record struct {
	key      string
	customer string
	content  uint64
	issued   time.Time
	state    State
	answer   *message.Answer
	body     []byte
	size     int
}

// match returns the state of the record for an offer of the same key.
func (r *record) match(offer *message.Offer) State {
	if r.customer != offer.Customer || r.content != offer.Content {
		return Mismatch
	}
	return r.state
}

// weight returns the bytes that a kept answer takes.
func weight(answer *message.Answer, body []byte) int {
	size := len(body)
	for i := range answer.Header {
		size += len(answer.Header[i].Name) + len(answer.Header[i].Value)
	}
	return size
}

// minRing is the initial capacity of a ring, a power of two.
const minRing = 64

// ring is a queue of records in the order of entry. A record keeps its number
// until it is popped, and takes no allocation once the ring has its size.
type ring struct {
	places []record
	head   uint64 // number of the front record
	tail   uint64 // number of the next record
}

func (r *ring) len() int { return int(r.tail - r.head) }

func (r *ring) at(n uint64) *record { return &r.places[n&uint64(len(r.places)-1)] }

func (r *ring) front() *record { return r.at(r.head) }

func (r *ring) push(v record) uint64 {
	if r.len() == len(r.places) {
		r.grow()
	}
	n := r.tail
	r.tail++
	*r.at(n) = v
	return n
}

func (r *ring) pop() {
	*r.front() = record{}
	r.head++
}

func (r *ring) grow() {
	old := *r
	r.places = make([]record, max(minRing, 2*len(old.places)))
	for n := old.head; n != old.tail; n++ {
		*r.at(n) = *old.at(n)
	}
}
