package platform_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/platform"
	"github.com/papayapath/papayapath/pkg/stream"
)

// serve returns a client of a fake log that answers with handler.
func serve(t *testing.T, handler http.HandlerFunc) *platform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client, err := platform.New(server.URL)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// hangUp ends the connection in place of an answer.
func hangUp(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// Guards against a request that the log does not understand, and against a
// position that is misread.
func TestAppend(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		require.Equal(t, "POST /streams/owners", r.Method+" "+r.URL.Path)
		require.JSONEq(t, `{"id":"r1","data":"`+base64.StdEncoding.EncodeToString([]byte("x"))+`"}`, string(body))
		_, _ = io.WriteString(w, `{"generation":2,"offset":7}`)
	})
	position, err := client.Append(context.Background(), "owners", "r1", []byte("x"))
	require.NoError(t, err)
	require.Equal(t, stream.At(2, 7), position)
}

// Guards against an append that may have taken effect being reported as
// refused, which would let its writer send it twice.
func TestAppendFailures(t *testing.T) {
	var refused *platform.RefusedError
	var doubt *platform.InDoubtError
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    any
	}{
		{"client error", reply(400, "no"), &refused},
		{"too many requests", reply(429, "slow down"), &refused},
		{"request timeout", reply(408, ""), &doubt},
		{"server error", reply(500, "no"), &doubt},
		{"unavailable", reply(503, "no"), &doubt},
		{"redirect", http.RedirectHandler("/a", 307).ServeHTTP, &doubt},
		{"answer lost", hangUp, &doubt},
		{"not JSON", reply(200, "{"), &doubt},
		{"no offset", reply(200, `{"generation":1}`), &doubt},
		{"no generation", reply(200, `{"offset":1}`), &doubt},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := serve(t, c.handler).Append(context.Background(), "s", "id", nil)
			require.ErrorAs(t, err, c.want)
		})
	}
}

// Guards against an append that hangs, and against its timeout being taken for
// a refusal.
func TestAppendTimeoutIsInDoubt(t *testing.T) {
	client := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Append(ctx, "s", "id", nil)
	var doubt *platform.InDoubtError
	require.ErrorAs(t, err, &doubt)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, "id", doubt.ID())
}

// Guards against doubt about a record that can't have been sent, which would
// make its writer look for it.
func TestAppendWithoutConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := "http://" + listener.Addr().String()
	require.NoError(t, listener.Close())
	client, err := platform.New(address)
	require.NoError(t, err)
	var unavailable *platform.UnavailableError
	_, err = client.Append(context.Background(), "s", "id", nil)
	require.ErrorAs(t, err, &unavailable)
	_, err = client.Read(context.Background(), "s", 0, 1, 0)
	require.ErrorAs(t, err, &unavailable)
}

// Guards against records that get lost or mixed up on their way.
func TestRead(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "from=3&max=10&wait=1500", r.URL.Query().Encode())
		_, _ = io.WriteString(w, `{"generation":1,"first":4,"end":9,"records":[{"offset":4,"id":"a","data":"eA=="},{"offset":5,"id":"b","data":""}]}`)
	})
	batch, err := client.Read(context.Background(), "s", 3, 10, 1500*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, stream.Batch{Generation: 1, First: 4, End: 9, Records: []stream.Record{
		{Offset: 4, ID: "a", Data: []byte("x")}, {Offset: 5, ID: "b", Data: []byte{}},
	}}, batch)
}

// Guards against a damaged answer being taken for the end of the log.
func TestReadRejectsDamagedAnswers(t *testing.T) {
	for _, body := range []string{
		``, `{}`, `{"generation":1,"first":2,"end":1}`,
		`{"generation":1,"first":0,"end":3,"records":[{"offset":1}]}`,
		`{"generation":1,"first":0,"end":3,"records":[{"offset":0},{"offset":2}]}`,
		`{"generation":1,"first":0,"end":1,"records":[{"offset":0},{"offset":1}]}`,
	} {
		_, err := serve(t, reply(200, body)).Read(context.Background(), "s", 0, 5, 0)
		var unavailable *platform.UnavailableError
		require.ErrorAs(t, err, &unavailable, body)
	}
	_, err := serve(t, reply(404, "no")).Read(context.Background(), "s", 0, 5, 0)
	var refused *platform.RefusedError
	require.ErrorAs(t, err, &refused)
}

// Guards against a base URL that would only fail at the first request.
func TestNewRejectsAddresses(t *testing.T) {
	for _, address := range []string{"", "127.0.0.1:80", "ftp://a", "http://", "http://%zz"} {
		_, err := platform.New(address)
		var want *platform.AddressError
		require.ErrorAs(t, err, &want, address)
	}
}

// Guards against a panic on any answer of the log.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"generation":1,"first":0,"end":1,"records":[{"offset":0,"id":"a","data":"eA=="}]}`))
	f.Add([]byte(`{"generation":1,"first":-1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		client, err := platform.New("http://log.invalid", platform.WithTransport(answer(body)))
		require.NoError(t, err)
		batch, err := client.Read(context.Background(), "s", 0, 5, 0)
		if err == nil {
			require.LessOrEqual(t, int64(len(batch.Records)), batch.End-batch.First, fmt.Sprint(batch))
		}
	})
}

type answer []byte

func (a answer) RoundTrip(*http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	_, _ = w.Write(a)
	return w.Result(), nil
}
