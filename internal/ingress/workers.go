package ingress

import "sync"

// maxIdleWorkers bounds the goroutines that wait for work, each with its stack.
const maxIdleWorkers = 16

// workers runs functions in goroutines that it uses again, because the stack of a new
// goroutine grows, and is copied, several times while it handles a request. The zero
// value is ready to use.
type workers struct {
	mu   sync.Mutex
	idle []chan func()
}

// run runs f in another goroutine.
func (w *workers) run(f func()) {
	w.mu.Lock()
	last := len(w.idle) - 1
	if last < 0 {
		w.mu.Unlock()
		go w.work(f)
		return
	}
	next := w.idle[last]
	w.idle = w.idle[:last]
	w.mu.Unlock()
	next <- f
}

// work runs f and what follows, until enough other workers wait.
func (w *workers) work(f func()) {
	next := make(chan func(), 1)
	for {
		f()
		w.mu.Lock()
		if len(w.idle) == maxIdleWorkers {
			w.mu.Unlock()
			return
		}
		w.idle = append(w.idle, next)
		w.mu.Unlock()
		f = <-next
	}
}
