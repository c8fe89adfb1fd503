// Package jsonbody writes JSON answers of the lab's HTTP servers.
package jsonbody

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Write answers r with the JSON form of value, or with status 500 if it has
// none.
func Write(r *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		r.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	r.SetContentType("application/json")
	r.SetBody(body)
}
