package acceptor

import "github.com/papayapath/papayapath/pkg/message"

// maxSpare bounds the answers that are kept for reuse.
const maxSpare = 1024

// answers reuses the memory of answers that have been sent.
type answers struct{ spare []*message.Answer }

func (s *answers) take() *message.Answer {
	if len(s.spare) == 0 {
		return new(message.Answer)
	}
	last := len(s.spare) - 1
	answer := s.spare[last]
	s.spare = s.spare[:last]
	return answer
}

func (s *answers) give(answer *message.Answer) {
	if len(s.spare) < maxSpare {
		*answer = message.Answer{}
		s.spare = append(s.spare, answer)
	}
}
