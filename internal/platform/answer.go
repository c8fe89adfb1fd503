package platform

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/papayapath/papayapath/pkg/stream"
)

type appendRequest struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

type appendAnswer struct {
	Generation uint64 `json:"generation"`
	Offset     *int64 `json:"offset"`
}

type readAnswer struct {
	Generation uint64       `json:"generation"`
	First      int64        `json:"first"`
	End        int64        `json:"end"`
	Records    []readRecord `json:"records"`
}

type readRecord struct {
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
	Data   []byte `json:"data"`
}

func decodePosition(status int, data []byte) (Position, error) {
	answer, err := decode[appendAnswer](status, data)
	if err != nil {
		return Position{}, err
	}
	if answer.Generation == 0 || answer.Offset == nil || *answer.Offset < 0 {
		return Position{}, &AnswerError{status: status, reason: "generation or offset is missing or out of range"}
	}
	return stream.At(answer.Generation, *answer.Offset), nil
}

func decodeBatch(status int, data []byte, from int64) (Batch, error) {
	answer, err := decode[readAnswer](status, data)
	if err != nil {
		return Batch{}, err
	}
	if answer.Generation == 0 || answer.First < 0 || answer.End < answer.First {
		return Batch{}, &AnswerError{status: status, reason: "generation, first or end is out of range"}
	}
	batch := Batch{Generation: answer.Generation, First: answer.First, End: answer.End}
	next := max(from, answer.First)
	for _, r := range answer.Records {
		if r.Offset != next || r.Offset >= answer.End {
			return Batch{}, &AnswerError{status: status, reason: fmt.Sprintf("offset %d where %d is due", r.Offset, next)}
		}
		next++
		batch.Records = append(batch.Records, Record(r))
	}
	return batch, nil
}

func decode[T any](status int, data []byte) (T, error) {
	var v T
	if status != http.StatusOK && status != http.StatusCreated {
		return v, &AnswerError{status: status, reason: reason(data)}
	}
	if err := json.Unmarshal(data, &v); err != nil {
		return v, &AnswerError{status: status, reason: err.Error()}
	}
	return v, nil
}

func reason(answer []byte) string {
	return fmt.Sprintf("%.*q", maxReason, answer)
}
