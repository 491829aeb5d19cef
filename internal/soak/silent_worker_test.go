package soak

import "time"

const (
	// minSilence and maxSilence bound how long a sound worker falls silent.
	minSilence = 900 * time.Millisecond
	maxSilence = 1300 * time.Millisecond
)

// silenceWorkerSometimes lets a worker send and receive nothing for about a second, in a third of the
// cases. That is no fault of the worker: requests at it must get their answers.
func (s *soak) silenceWorkerSometimes() {
	if s.random.IntN(3) > 0 {
		return
	}
	slot := s.randomSlot()
	silence := minSilence + time.Duration(s.random.Int64N(int64(maxSilence-minSilence)))
	if linkFault(slot.proxy.fault.Load()) != linkHealthy {
		return
	}
	s.logFault("worker at %s: silent for %v", slot.public, silence)
	slot.proxy.fault.Store(int32(linkSilent))
	time.AfterFunc(silence, func() { slot.proxy.fault.Store(int32(linkHealthy)) })
}
