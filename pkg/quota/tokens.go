package quota

import "time"

// maxBatches bounds the number of batches. A part grants a batch in some milliseconds at
// most, and a batch is used up soon if requests arrive.
const maxBatches = 16

// batch is a number of tokens that expire at the same time.
type batch struct {
	expires time.Time
	tokens  int
}

// tokens holds unused tokens, those that expire first in front.
type tokens struct {
	batches []batch
	total   int
}

// expire drops the tokens that have expired.
func (t *tokens) expire(now time.Time) {
	n := 0
	for n < len(t.batches) && !now.Before(t.batches[n].expires) {
		t.total -= t.batches[n].tokens
		n++
	}
	t.drop(n)
}

// drop removes the first n batches.
func (t *tokens) drop(n int) {
	if n > 0 {
		t.batches = t.batches[:copy(t.batches, t.batches[n:])]
	}
}

// take removes the token that expires first, if there is one.
func (t *tokens) take() (expires time.Time, ok bool) {
	if len(t.batches) == 0 {
		return time.Time{}, false
	}
	b := &t.batches[0]
	expires = b.expires
	b.tokens--
	t.total--
	if b.tokens == 0 {
		t.drop(1)
	}
	return expires, true
}

// add adds n tokens. If there are too many batches, the first two are joined, and all of
// their tokens expire with the first one.
func (t *tokens) add(expires time.Time, n int) {
	if n <= 0 {
		return
	}
	t.total += n
	i := len(t.batches)
	for i > 0 && expires.Before(t.batches[i-1].expires) {
		i--
	}
	if i > 0 && t.batches[i-1].expires.Equal(expires) {
		t.batches[i-1].tokens += n
		return
	}
	t.batches = append(t.batches, batch{})
	copy(t.batches[i+1:], t.batches[i:])
	t.batches[i] = batch{expires: expires, tokens: n}
	if len(t.batches) > maxBatches {
		t.batches[1] = batch{expires: t.batches[0].expires, tokens: t.batches[0].tokens + t.batches[1].tokens}
		t.drop(1)
	}
}
