package gossip

import "time"

// Crash reports that a request was waiting for its answer at an endpoint that crashed. VMs relay
// the crashes that others observed.
type Crash struct {
	// Endpoint and StartedMS identify the instance that crashed.
	Endpoint  string
	StartedMS int64
	// Service is the name of the endpoint's service, empty if the sender reports only the time of the crash.
	Service string
	// Parts are the IDs of all parts of the request's prompt, or none.
	Parts []uint64
	// AgeMS is the time since the crash, SentBeforeMS that from the request to the crash, and
	// AnsweredBeforeMS that from the last answer of the endpoint's service to the crash, in
	// milliseconds.
	AgeMS            int64
	SentBeforeMS     int64
	AnsweredBeforeMS int64
	// BackgroundPermille is the share of all requests that ended in a crash of their endpoint
	// at that time, in thousandths.
	BackgroundPermille int
}

// AnsweredPart reports that a request with a prompt part was answered.
type AnsweredPart struct {
	Part uint64
	// AgeMS is the time since the answer, in milliseconds.
	AgeMS int64
}

// ServiceCrashes count the sender's recent requests to a service that ended in a crash of their endpoint
// or were answered, in units of 1/OutcomeUnits.
type ServiceCrashes struct {
	Service           string
	Crashed, Answered int
}

// Limits on decoded crashes and answered parts.
const (
	maxCrashes        = 64
	maxAnsweredParts  = 64
	maxServiceCrashes = 64
	maxCrashParts     = 64
	maxPermille       = 1000
	maxCrashAgeMS     = int64(24 * time.Hour / time.Millisecond)
)

// hasCrashFields reports whether a field on crashes is set. Most reports have none.
func (r *Report) hasCrashFields() bool {
	return len(r.Crashes) > 0 || len(r.AnsweredParts) > 0 || len(r.ServiceCrashes) > 0
}

// crashes writes the fields on crashes.
func (w *wireWriter) crashes(report *Report) {
	writeList(w, report.Crashes, (*wireWriter).crash)
	writeList(w, report.AnsweredParts, (*wireWriter).answeredPart)
	writeList(w, report.ServiceCrashes, (*wireWriter).serviceCrashes)
}

func (w *wireWriter) crash(crash *Crash) {
	w.name(crash.Endpoint)
	w.number(crash.StartedMS)
	w.name(crash.Service)
	w.count(len(crash.Parts))
	for _, part := range crash.Parts {
		w.hash(part)
	}
	w.number(crash.AgeMS)
	w.number(crash.SentBeforeMS)
	w.number(crash.AnsweredBeforeMS)
	w.count(crash.BackgroundPermille)
}

func (w *wireWriter) answeredPart(answer *AnsweredPart) {
	w.hash(answer.Part)
	w.number(answer.AgeMS)
}

// crashes reads the fields on crashes.
func (r *wireReader) crashes(report *Report) {
	report.Crashes = readList(r, maxCrashes, (*wireReader).crash)
	report.AnsweredParts = readList(r, maxAnsweredParts, (*wireReader).answeredPart)
	report.ServiceCrashes = readList(r, maxServiceCrashes, (*wireReader).serviceCrashes)
}

func (r *wireReader) crash(crash *Crash) {
	crash.Endpoint = r.name()
	crash.StartedMS = r.number()
	crash.Service = r.name()
	crash.Parts = makeSlice[uint64](r.entryCount(maxCrashParts))
	for at := range crash.Parts {
		crash.Parts[at] = r.hash()
	}
	crash.AgeMS = r.numberInRange(0, maxCrashAgeMS)
	crash.SentBeforeMS = r.numberInRange(0, maxCrashAgeMS)
	crash.AnsweredBeforeMS = r.numberInRange(0, maxCrashAgeMS)
	crash.BackgroundPermille = r.count(maxPermille)
}

func (r *wireReader) answeredPart(answer *AnsweredPart) {
	answer.Part = r.hash()
	answer.AgeMS = r.numberInRange(0, maxCrashAgeMS)
}

func (w *wireWriter) serviceCrashes(counts *ServiceCrashes) {
	w.name(counts.Service)
	w.count(counts.Crashed)
	w.count(counts.Answered)
}

func (r *wireReader) serviceCrashes(counts *ServiceCrashes) {
	counts.Service = r.name()
	counts.Crashed = r.count(maxRequests)
	counts.Answered = r.count(maxRequests)
}
