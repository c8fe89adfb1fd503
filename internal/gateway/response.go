package gateway

import (
	"errors"

	"github.com/gofiber/fiber/v3"

	"github.com/papayapath/papayapath/internal/exchange"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// retryAfter is the value of Retry-After, in seconds, on refusals for
// overload. It is the smallest that the field can express.
const retryAfter = "1"

// statuses maps reasons to HTTP statuses, whatever the outcome. Others give
// 503 if the call was not run, else 504.
var statuses = map[outcome.Reason]int{
	outcome.Rate:      fiber.StatusTooManyRequests,
	outcome.Malformed: fiber.StatusBadRequest,
	outcome.Forbidden: fiber.StatusForbidden,
	outcome.Conflict:  fiber.StatusConflict,
	outcome.Stale:     fiber.StatusUnprocessableEntity,
	outcome.TooLarge:  fiber.StatusRequestEntityTooLarge,
}

// refusal is the body of an answer that does not come from a backend server.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail,omitempty"`
}

func write(c fiber.Ctx, r exchange.Result) error {
	if r.Stream != nil {
		setHead(c, r.Head)
		c.Response().SetBodyStream(r.Stream, int(r.Head.Length))
		return nil
	}
	if r.Answer.Outcome != outcome.Complete {
		return refuse(c, r.Answer.Outcome, r.Answer.Reason, "")
	}
	setHead(c, r.Head)
	return c.Send(r.Body)
}

func setHead(c fiber.Ctx, h *message.Head) {
	c.Status(h.Status)
	for _, f := range h.Header {
		if forwarded(f.Name) {
			c.Response().Header.Add(f.Name, f.Value)
		}
	}
	c.Set(HeaderOutcome, outcome.Complete.String())
}

func refuse(c fiber.Ctx, o outcome.Outcome, reason outcome.Reason, detail string) error {
	c.Set(HeaderOutcome, o.String())
	c.Set(HeaderReason, reason.String())
	if reason == outcome.Overload || reason == outcome.Rate {
		c.Set(fiber.HeaderRetryAfter, retryAfter)
	}
	return c.Status(status(o, reason)).JSON(refusal{
		Outcome: o.String(), Reason: reason.String(), Detail: detail,
	})
}

func status(o outcome.Outcome, reason outcome.Reason) int {
	if s, ok := statuses[reason]; ok {
		return s
	}
	if o != outcome.NotRun {
		return fiber.StatusGatewayTimeout
	}
	return fiber.StatusServiceUnavailable
}

// fault answers requests that the gateway itself refuses.
func fault(c fiber.Ctx, err error) error {
	reason := outcome.Malformed
	var own *RequestError
	var library *fiber.Error
	switch {
	case errors.As(err, &own):
		reason = own.Reason()
	case errors.As(err, &library) && library.Code == fiber.StatusRequestEntityTooLarge:
		reason = outcome.TooLarge
	}
	return refuse(c, outcome.NotRun, reason, err.Error())
}
