// Package jsonbody writes JSON responses of the lab's HTTP servers.
package jsonbody

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Write responds with the JSON encoding of value, or with status 500 if it
// can't be encoded.
func Write(r *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		r.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	r.SetContentType("application/json")
	r.SetBody(body)
}
