package gossip

import (
	"math"

	"cardamompoint.example/cardamompoint/code"
)

// reportFormat is the first byte of each datagram. Datagrams of another format are
// ignored.
const reportFormat = 7

// Limits on decoded reports; a report that exceeds one is invalid.
const (
	maxMembers    = 64
	maxHeartbeats = 256
	maxEntries    = 8192
	maxRequests   = 1 << 20
	maxTokens     = 1 << 40
	maxAgeMS      = 1 << 40
)

// encoder encodes reports. It is not safe for concurrent use.
type encoder struct {
	writer wireWriter
}

func newEncoder() *encoder {
	return &encoder{writer: wireWriter{names: map[string]uint64{}}}
}

// encode returns the datagram of a report. It is valid until the next call.
func (e *encoder) encode(report *Report) []byte {
	w := &e.writer
	w.reset()
	w.datagram = append(w.datagram, reportFormat)
	w.name(report.Address)
	w.number(report.Incarnation)
	w.number(report.Sequence)
	w.name(report.FailureDomain)
	w.number(int64(report.Capacity))
	w.number(int64(report.KnownVMs))
	w.flags(report.Leaving, report.HasPartLocations, report.MembershipOnly, report.StoreLost, report.hasCrashFields(), report.hasLimitFields(), len(report.IdleResets) > 0, len(report.Contentions) > 0)
	w.number(report.ConfigVersion)
	w.number(report.Newest.Era)
	w.number(report.Newest.Revision)
	w.number(report.AgeMS)
	e.encodeMembers(report)
	e.encodeEndpoints(report)
	return w.datagram
}

// encodeMembers appends Members and Heartbeats. Incarnations of heartbeats are relative
// to that of the sender, which is shorter.
func (e *encoder) encodeMembers(report *Report) {
	w := &e.writer
	w.count(len(report.Members))
	for _, address := range report.Members {
		w.name(address)
	}
	w.count(len(report.Heartbeats))
	for i := range report.Heartbeats {
		heartbeat := &report.Heartbeats[i]
		w.name(heartbeat.Address)
		w.number(heartbeat.Incarnation - report.Incarnation)
		w.number(heartbeat.AgeMS)
		w.name(heartbeat.FailureDomain)
		w.number(int64(heartbeat.Capacity))
		w.flags(heartbeat.HasPartLocations, heartbeat.CanLead)
	}
}

// encodeEndpoints appends the fields on endpoints.
func (e *encoder) encodeEndpoints(report *Report) {
	w := &e.writer
	w.count(len(report.EndpointLoads))
	for _, load := range report.EndpointLoads {
		w.name(load.Endpoint)
		w.number(int64(load.Requests))
		w.number(load.AgeMS)
	}
	w.count(len(report.Work))
	for _, work := range report.Work {
		w.name(work.Endpoint)
		w.number(int64(work.Requests))
		w.number(int64(work.PrefillTokens))
	}
	w.partLocations(report.PartLocations)
	w.count(len(report.Outcomes))
	for _, outcomes := range report.Outcomes {
		w.outcomes(outcomes)
	}
	if report.hasCrashFields() {
		w.crashes(report)
	}
	if report.hasLimitFields() {
		w.limits(report)
	}
	if len(report.IdleResets) > 0 {
		w.idleResets(report)
	}
	if len(report.Contentions) > 0 {
		w.contentions(report)
	}
}

// decoder decodes reports. It is not safe for concurrent use.
type decoder struct {
	reader wireReader
}

func newDecoder() *decoder {
	return &decoder{reader: wireReader{interned: map[string]string{}}}
}

// decode returns the report of a datagram. Errors carry code.InvalidDocument: the datagram
// is truncated, has another format, or has a value out of range.
func (d *decoder) decode(datagram []byte) (Report, error) {
	if len(datagram) == 0 || datagram[0] != reportFormat {
		return Report{}, code.New(code.InvalidDocument, "unsupported report format")
	}
	r := &d.reader
	r.reset(datagram[1:])
	var report Report
	var hasCrashFields, hasLimitFields, hasIdleResets, hasContentions bool
	report.Address = r.name()
	report.Incarnation = r.number()
	report.Sequence = r.numberInRange(0, math.MaxInt64)
	report.FailureDomain = r.name()
	report.Capacity = int(r.numberInRange(0, maxRequests))
	report.KnownVMs = int(r.numberInRange(0, maxKnownVMs))
	r.flags(&report.Leaving, &report.HasPartLocations, &report.MembershipOnly, &report.StoreLost, &hasCrashFields, &hasLimitFields, &hasIdleResets, &hasContentions)
	report.ConfigVersion = r.numberInRange(0, math.MaxInt64)
	report.Newest.Era = r.numberInRange(0, math.MaxInt64)
	report.Newest.Revision = r.numberInRange(0, math.MaxInt64)
	report.AgeMS = r.numberInRange(-1, math.MaxInt64)
	d.decodeMembers(&report)
	d.decodeEndpoints(&report)
	if hasCrashFields {
		r.crashes(&report)
	}
	if hasLimitFields {
		r.limits(&report)
	}
	if hasIdleResets {
		r.idleResets(&report)
	}
	if hasContentions {
		r.contentions(&report)
	}
	if err := r.end(); err != nil {
		return Report{}, err
	}
	return report, nil
}

func (d *decoder) decodeMembers(report *Report) {
	r := &d.reader
	report.Members = makeSlice[string](r.entryCount(maxMembers))
	for i := range report.Members {
		report.Members[i] = r.name()
	}
	report.Heartbeats = makeSlice[Heartbeat](r.entryCount(maxHeartbeats))
	for i := range report.Heartbeats {
		heartbeat := &report.Heartbeats[i]
		heartbeat.Address = r.name()
		heartbeat.Incarnation = report.Incarnation + r.number()
		heartbeat.AgeMS = r.numberInRange(0, maxAgeMS)
		heartbeat.FailureDomain = r.name()
		heartbeat.Capacity = int(r.numberInRange(0, maxRequests))
		r.flags(&heartbeat.HasPartLocations, &heartbeat.CanLead)
	}
}

func (d *decoder) decodeEndpoints(report *Report) {
	r := &d.reader
	report.EndpointLoads = makeSlice[EndpointLoad](r.entryCount(maxEntries))
	for i := range report.EndpointLoads {
		report.EndpointLoads[i] = EndpointLoad{Endpoint: r.name(), Requests: int(r.numberInRange(0, maxRequests)), AgeMS: r.numberInRange(0, maxAgeMS)}
	}
	report.Work = makeSlice[EndpointWork](r.entryCount(maxEntries))
	for i := range report.Work {
		report.Work[i] = EndpointWork{Endpoint: r.name(), Requests: int(r.numberInRange(0, maxRequests)), PrefillTokens: int(r.numberInRange(0, maxTokens))}
	}
	report.PartLocations = r.partLocations(maxEntries)
	report.Outcomes = makeSlice[EndpointOutcomes](r.entryCount(maxEntries))
	for i := range report.Outcomes {
		report.Outcomes[i] = r.outcomes()
	}
}

// makeSlice returns a slice of the given size, nil if size is 0.
func makeSlice[T any](size int) []T {
	if size == 0 {
		return nil
	}
	return make([]T, size)
}
