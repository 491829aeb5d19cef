package quarantine

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// keptAnswerTimes is the number of answer times that are remembered for each service,
	// answerTimeStep the least time between two of them.
	keptAnswerTimes = 128
	answerTimeStep  = 25 * time.Millisecond
)

// serviceAnswers remembers when endpoints of one service began answers.
type serviceAnswers struct {
	// times is a ring in which next is the oldest entry. Unused entries are 0.
	times [keptAnswerTimes]clock.Boot
	next  int
}

// record records that an answer began.
func (s *serviceAnswers) record(at clock.Boot) {
	newest := s.times[(s.next+keptAnswerTimes-1)%keptAnswerTimes]
	if newest != 0 && at.Sub(newest) < answerTimeStep {
		return
	}
	s.times[s.next] = at
	s.next = (s.next + 1) % keptAnswerTimes
}

// lastBefore returns the last answer that began before a time, 0 if none is remembered.
func (s *serviceAnswers) lastBefore(at clock.Boot) clock.Boot {
	var last clock.Boot
	for _, began := range s.times {
		if began < at {
			last = max(last, began)
		}
	}
	return last
}
