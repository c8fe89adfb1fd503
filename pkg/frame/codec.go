package frame

import (
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/notice"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
)

// Offers and answers are encoded field by field, in MessagePack, because they are the
// frames of each request: a codec that inspects the type takes many times as long.

const (
	// offerFields is the number of fields of an offer without an objective, which is the
	// last field.
	offerFields = 17
	// answerFields is the number of fields of an answer without an outlook, which is
	// the last field.
	answerFields  = 15
	noticeFields  = 5
	outlookFields = 3
	// maxFanout and maxSheds bound the services of an Answer.
	maxFanout = 1 << 12
	maxSheds  = 1 << 8
)

var (
	errFields   = errors.New("frame: wrong number of fields")
	errTrailing = errors.New("frame: bytes behind the message")
	errRange    = errors.New("frame: number is out of range")
)

// AppendTo appends the encoded offer to dst.
func (o *Offer) AppendTo(dst []byte) []byte {
	fields := uint32(offerFields)
	if o.Objective != 0 {
		fields++
	}
	dst = msgp.AppendArrayHeader(dst, fields)
	dst = msgp.AppendUint64(dst, o.ID)
	dst = msgp.AppendString(dst, o.Request)
	dst = msgp.AppendString(dst, o.Service)
	dst = msgp.AppendUint64(dst, uint64(o.Route))
	dst = msgp.AppendUint16(dst, uint16(o.Priority))
	dst = msgp.AppendInt64(dst, int64(o.Wait))
	dst = msgp.AppendInt64(dst, int64(o.Sent))
	dst = msgp.AppendBool(dst, o.Repeatable)
	dst = msgp.AppendBool(dst, o.Nested)
	dst = msgp.AppendBool(dst, o.HasBody)
	dst = msgp.AppendBool(dst, o.HeadOnly)
	dst = msgp.AppendString(dst, o.Origin)
	dst = msgp.AppendUint64(dst, o.Content)
	dst = msgp.AppendBytes(dst, o.Head)
	dst = o.Notice.appendTo(dst)
	dst = msgp.AppendUint8(dst, uint8(o.Repeat))
	dst = msgp.AppendInt(dst, o.Credit)
	if o.Objective == 0 {
		return dst
	}
	return msgp.AppendInt64(dst, int64(o.Objective))
}

// DecodeFrom decodes the offer from data, of which it keeps a part.
func (o *Offer) DecodeFrom(data []byte) error {
	d := decoder{rest: data}
	hasObjective := d.fieldsOr(offerFields, offerFields+1) == offerFields+1
	o.ID = d.uint64()
	o.Request = d.string()
	o.Service = d.string()
	o.Route = message.Route(d.uint64())
	o.Priority = priority.Priority(d.uint16())
	o.Wait = time.Duration(d.int64())
	o.Sent = time.Duration(d.int64())
	o.Repeatable = d.bool()
	o.Nested = d.bool()
	o.HasBody = d.bool()
	o.HeadOnly = d.bool()
	o.Origin = d.string()
	o.Content = d.uint64()
	o.Head = d.bytes()
	o.Notice = d.notice()
	o.Repeat = Repeat(d.uint8())
	o.Credit = d.int()
	if hasObjective {
		o.Objective = time.Duration(d.int64())
	}
	return d.end()
}

// AppendTo appends the encoded answer to dst.
func (a *Answer) AppendTo(dst []byte) []byte {
	fields := uint32(answerFields)
	if a.Outlook != nil {
		fields++
	}
	dst = msgp.AppendArrayHeader(dst, fields)
	dst = msgp.AppendUint64(dst, a.ID)
	dst = msgp.AppendUint8(dst, uint8(a.Outcome))
	dst = msgp.AppendUint8(dst, uint8(a.Reason))
	dst = msgp.AppendBool(dst, a.Sent)
	dst = msgp.AppendInt(dst, a.Status)
	dst = msgp.AppendBytes(dst, a.Head)
	dst = msgp.AppendInt64(dst, int64(a.QueueDelay))
	dst = msgp.AppendBool(dst, a.CallRefused)
	dst = msgp.AppendInt(dst, a.Load)
	dst = msgp.AppendInt(dst, a.Limit)
	dst = msgp.AppendInt64(dst, int64(a.Time))
	dst = msgp.AppendBool(dst, a.HasFanout)
	dst = msgp.AppendArrayHeader(dst, uint32(len(a.Fanout)))
	for _, s := range a.Fanout {
		dst = msgp.AppendString(dst, s.Service)
		dst = msgp.AppendFloat32(dst, s.Calls)
	}
	dst = a.Notice.appendTo(dst)
	dst = msgp.AppendArrayHeader(dst, uint32(len(a.Sheds)))
	for _, s := range a.Sheds {
		dst = msgp.AppendString(dst, s.Service)
		dst = msgp.AppendFloat32(dst, s.Rate)
	}
	if a.Outlook == nil {
		return dst
	}
	dst = msgp.AppendArrayHeader(dst, outlookFields)
	dst = msgp.AppendInt64(dst, int64(a.Outlook.Wait))
	dst = msgp.AppendInt64(dst, int64(a.Outlook.ServiceTime))
	return msgp.AppendFloat32(dst, a.Outlook.Slowdown)
}

// DecodeFrom decodes the answer from data, of which it keeps a part.
func (a *Answer) DecodeFrom(data []byte) error {
	d := decoder{rest: data}
	hasOutlook := d.fieldsOr(answerFields, answerFields+1) == answerFields+1
	a.ID = d.uint64()
	a.Outcome = outcome.Outcome(d.uint8())
	a.Reason = outcome.Reason(d.uint8())
	a.Sent = d.bool()
	a.Status = d.int()
	a.Head = d.bytes()
	a.QueueDelay = time.Duration(d.int64())
	a.CallRefused = d.bool()
	a.Load = d.int()
	a.Limit = d.int()
	a.Time = time.Duration(d.int64())
	a.HasFanout = d.bool()
	n := d.length(maxFanout)
	for range n {
		a.Fanout = append(a.Fanout, ServiceCalls{Service: d.string(), Calls: d.float32()})
		if d.err != nil {
			break
		}
	}
	a.Notice = d.notice()
	for range d.length(maxSheds) {
		a.Sheds = append(a.Sheds, ServiceRate{Service: d.string(), Rate: d.float32()})
		if d.err != nil {
			break
		}
	}
	if hasOutlook {
		d.fields(outlookFields)
		a.Outlook = &Outlook{Wait: time.Duration(d.int64()), ServiceTime: time.Duration(d.int64()), Slowdown: d.float32()}
	}
	return d.end()
}

func (n *Notice) appendTo(dst []byte) []byte {
	if n == nil {
		return msgp.AppendNil(dst)
	}
	dst = msgp.AppendArrayHeader(dst, noticeFields)
	dst = msgp.AppendString(dst, n.ID)
	dst = msgp.AppendInt64(dst, n.Born)
	dst = msgp.AppendBool(dst, n.Notice.Limited)
	dst = msgp.AppendFloat64(dst, n.Notice.Rate)
	return msgp.AppendBool(dst, n.Notice.Leaving)
}

// decoder decodes fields one after another. After an error, all of them are zero.
type decoder struct {
	rest []byte
	err  error
}

// next decodes a field with read, a function of package msgp.
func next[T any](d *decoder, read func([]byte) (T, []byte, error)) (v T) {
	if d.err != nil {
		return v
	}
	v, d.rest, d.err = read(d.rest)
	return v
}

func (d *decoder) uint64() uint64   { return next(d, msgp.ReadUint64Bytes) }
func (d *decoder) uint16() uint16   { return next(d, msgp.ReadUint16Bytes) }
func (d *decoder) uint8() uint8     { return next(d, msgp.ReadUint8Bytes) }
func (d *decoder) int64() int64     { return next(d, msgp.ReadInt64Bytes) }
func (d *decoder) int() int         { return next(d, msgp.ReadIntBytes) }
func (d *decoder) bool() bool       { return next(d, msgp.ReadBoolBytes) }
func (d *decoder) float32() float32 { return next(d, msgp.ReadFloat32Bytes) }
func (d *decoder) float64() float64 { return next(d, msgp.ReadFloat64Bytes) }
func (d *decoder) string() string   { return next(d, msgp.ReadStringBytes) }

// bytes decodes a byte string, which is a part of the message.
func (d *decoder) bytes() []byte {
	b := next(d, msgp.ReadBytesZC)
	return b[:len(b):len(b)]
}

// length decodes the length of an array, of most elements at the most.
func (d *decoder) length(most uint32) uint32 {
	n := next(d, msgp.ReadArrayHeaderBytes)
	if d.err == nil && n > most {
		d.err = errRange
	}
	if d.err != nil {
		return 0
	}
	return n
}

// fields decodes the length of an array that stands for a type with n fields.
func (d *decoder) fields(n uint32) { d.fieldsOr(n, n) }

// fieldsOr decodes the length of an array that stands for a type with n or m fields, and
// returns it.
func (d *decoder) fieldsOr(n, m uint32) uint32 {
	count := next(d, msgp.ReadArrayHeaderBytes)
	if d.err == nil && count != n && count != m {
		d.err = errFields
	}
	return count
}

func (d *decoder) notice() *Notice {
	if d.err != nil {
		return nil
	}
	if msgp.IsNil(d.rest) {
		d.rest, d.err = msgp.ReadNilBytes(d.rest)
		return nil
	}
	d.fields(noticeFields)
	return &Notice{
		ID: d.string(), Born: d.int64(),
		Notice: notice.Notice{Limited: d.bool(), Rate: d.float64(), Leaving: d.bool()},
	}
}

// end returns the first error, which may be that something follows the message.
func (d *decoder) end() error {
	if d.err == nil && len(d.rest) > 0 {
		d.err = errTrailing
	}
	return d.err
}
