package quarantine

import "cardamompoint.example/cardamompoint/internal/clock"

// maxAnswers bounds each of the two maps of answers.
const maxAnswers = 8192

// answers remembers when parts were last answered. It holds the parts of the last maxAnswers to
// 2*maxAnswers entries.
type answers struct {
	current  map[uint64]clock.Boot
	previous map[uint64]clock.Boot
}

func newAnswers() *answers {
	return &answers{current: map[uint64]clock.Boot{}}
}

// record records an answer, unless a later one is known. It reports whether it was new.
func (a *answers) record(part uint64, at clock.Boot) bool {
	if last, known := a.last(part); known && last >= at {
		return false
	}
	if len(a.current) >= maxAnswers {
		a.previous, a.current = a.current, make(map[uint64]clock.Boot, maxAnswers)
	}
	a.current[part] = at
	return true
}

// last returns when a part was last answered.
func (a *answers) last(part uint64) (at clock.Boot, known bool) {
	if at, known = a.current[part]; known {
		return at, true
	}
	at, known = a.previous[part]
	return at, known
}
