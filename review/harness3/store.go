package main

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

const (
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// storeHeader is the size of the two offsets before the records of a read.
	storeHeader = 16
	// lengthSize is the size of the length before a record.
	lengthSize = 4
)

// record is a record of a keyed topic.
type record struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store. It keeps all records.
type store struct {
	mu      sync.Mutex
	parts   map[string][]record // by topic and partition
	changed chan struct{}       // closed at the next append
}

// newStore serves an empty store at an address.
func newStore(address string) (*store, error) {
	s := &store{parts: make(map[string][]record), changed: make(chan struct{})}
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	go http.Serve(ln, s) //nolint:errcheck // ends with the process
	return s, nil
}

// put appends a record of the operator and returns the time of the acknowledgement.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic+"/0", record{key, value})
	return time.Now()
}

func (s *store) add(part string, r record) {
	s.parts[part] = append(s.parts[part], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	part := q.Get("topic") + "/" + q.Get("part")
	switch r.Method + r.URL.Path {
	case "POST/log-append":
		s.append(w, r, part, q.Get("at"))
	case "GET/log-newest":
		s.newest(w, part)
	case "GET/log-read":
		s.read(w, r, part)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, part, at string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.parts[part])
	if at != "" && at != strconv.Itoa(offset) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"end_offset": offset})
		return
	}
	for len(body) > lengthSize {
		n := int(binary.BigEndian.Uint32(body))
		body = body[lengthSize:]
		if n > len(body) || n <= int(body[0]) {
			break
		}
		k := 1 + int(body[0])
		s.add(part, record{string(body[1:k]), append([]byte(nil), body[k:n]...)})
		body = body[n:]
	}
	writeJSON(w, map[string]any{"offset": offset, "end_offset": len(s.parts[part])})
}

func (s *store) newest(w http.ResponseWriter, part string) {
	s.mu.Lock()
	all := s.parts[part]
	s.mu.Unlock()
	last := make(map[string]int)
	for i, r := range all {
		last[r.key] = i
	}
	items := []map[string]any{}
	for i, r := range all {
		if last[r.key] == i && len(r.value) > 0 {
			items = append(items, map[string]any{"key": r.key, "value": base64.StdEncoding.EncodeToString(r.value), "offset": i})
		}
	}
	writeJSON(w, map[string]any{"items": items, "more": false, "end_offset": len(all)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, part string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))    //nolint:errcheck // 0 is the first record
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) //nolint:errcheck // 0 does not wait
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		all, changed := s.parts[part], s.changed
		s.mu.Unlock()
		if from < len(all) {
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

func encodeRecords(all []record, from int) []byte {
	data := make([]byte, storeHeader)
	binary.BigEndian.PutUint64(data, uint64(len(all)))
	for _, r := range all[from:] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(append(append(data, byte(len(r.key))), r.key...), r.value...)
	}
	return data
}

func writeJSON(w io.Writer, v any) {
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the caller may have left
}
