package fleet

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeDelay is the time of an answer of the store.
const storeDelay = 4 * time.Millisecond

// Store is a stand-in for the platform's store, with keyed topics.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed at the next append
}

// topic is a partition of a topic. newest has the offset of the newest record of each key.
type topic struct {
	records [][]byte
	newest  map[string]int
}

// newStore serves an empty store until the listener is closed.
func newStore(ln net.Listener) *Store {
	s := &Store{topics: make(map[string]*topic), changed: make(chan struct{})}
	go http.Serve(ln, s) //nolint:errcheck,gosec // ends with the process
	return s
}

// Put appends a record of a key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.topic(name, "0"), append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *Store) topic(name, part string) *topic {
	name += "/" + part
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int)}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(t *topic, record []byte) {
	t.records = append(t.records, record)
	if end := 1 + int(record[0]); len(record) > end {
		t.newest[string(record[1:end])] = len(t.records) - 1
	} else {
		delete(t.newest, string(record[1:end]))
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls that a node makes.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"), query.Get("part"))
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, t, query.Get("at"), body)
	case "/log-read":
		s.serveRead(w, r, t)
	case "/log-newest":
		serveNewest(w, t)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, t *topic, at string, body []byte) {
	offset := len(t.records)
	if at != "" && at != strconv.Itoa(offset) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"end_offset": offset})
		return
	}
	for len(body) >= 4 {
		n := 4 + int(binary.BigEndian.Uint32(body))
		s.append(t, append([]byte(nil), body[4:n]...))
		body = body[n:]
	}
	writeJSON(w, map[string]int{"offset": offset, "end_offset": len(t.records)})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, t *topic) {
	from := number(r.URL.Query().Get("from"))
	wait := time.After(time.Duration(number(r.URL.Query().Get("wait_ms"))) * time.Millisecond)
	for isOver := false; !isOver && from >= len(t.records); {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-wait:
			isOver = true
		case <-r.Context().Done():
			isOver = true
		}
		s.mu.Lock()
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for ; from < len(t.records); from++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[from])))
		out = append(out, t.records[from]...)
	}
	w.Write(out) //nolint:errcheck // the node reads again
}

func serveNewest(w http.ResponseWriter, t *topic) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for key, offset := range t.newest {
		value := t.records[offset][1+len(key):]
		items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset})
	}
	writeJSON(w, map[string]any{"items": items, "more": false, "end_offset": len(t.records)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the node calls again
}

// number returns the value of a decimal number, 0 if it is none.
func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}
