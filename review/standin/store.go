package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// storeDelay is the response time of the platform's store.
	storeDelay = 4 * time.Millisecond
	// newestPage is the number of records in a page of log-newest.
	newestPage = 500
)

// Store is the platform's metadata store with keyed topics of one partition.
type Store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
}

type storeRecord struct {
	key   string
	value []byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string][]storeRecord), changed: make(chan struct{})}
}

// Serve serves the store at address until the listener fails.
func (s *Store) Serve(address string) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.appendRecords)
	mux.HandleFunc("GET /log-read", s.readRecords)
	mux.HandleFunc("GET /log-newest", s.newest)
	go http.Serve(ln, mux) //nolint:errcheck // ends with the process
	return nil
}

// Put writes a record as the operator does.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(topic, storeRecord{key: key, value: value})
}

func (s *Store) put(topic string, r storeRecord) {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) appendRecords(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	time.Sleep(storeDelay)
	s.mu.Lock()
	first := len(s.topics[topic])
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+n]
		body = body[4+n:]
		keyEnd := 1 + int(content[0])
		s.put(topic, storeRecord{key: string(content[1:keyEnd]), value: append([]byte(nil), content[keyEnd:]...)})
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	writeJSON(w, map[string]int{"offset": first, "end_offset": end})
}

func (s *Store) readRecords(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))      //nolint:errcheck // 0 is the first record
	waitMS, _ := strconv.Atoi(q.Get("wait_ms")) //nolint:errcheck // 0 is no wait
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	time.Sleep(storeDelay)
	for {
		s.mu.Lock()
		all, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if len(all) > from {
			w.Write(encodeRecords(all, from)) //nolint:errcheck // the caller may have left
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.Write(encodeRecords(all, len(all))) //nolint:errcheck // the caller may have left
			return
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(all []storeRecord, from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range all[min(from, len(all)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	time.Sleep(storeDelay)
	s.mu.Lock()
	all := s.topics[q.Get("topic")]
	s.mu.Unlock()
	last := make(map[string]int)
	for i, record := range all {
		last[record.key] = i
	}
	items := []item{}
	for key, i := range last {
		if key > q.Get("after") && len(all[i].value) > 0 {
			items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(all[i].value), Offset: i})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > newestPage
	if more {
		items = items[:newestPage]
	}
	writeJSON(w, map[string]any{"items": items, "more": more, "end_offset": len(all)})
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data) //nolint:errcheck // the caller may have left
}
