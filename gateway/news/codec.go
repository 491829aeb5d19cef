package news

import (
	"math"

	"cardamompoint.example/cardamompoint/code"
)

// format begins each datagram; a VM leaves out datagrams of another format.
const format = 3

// The bounds of what a report may tell.
const (
	mostMembers  = 64
	mostPulses   = 256
	mostEntries  = 8192
	mostRequests = 1 << 20
	mostTokens   = 1 << 40
	longestAgeMS = 1 << 40
)

// encoder packs reports. It is not safe for concurrent use.
type encoder struct {
	writer wireWriter
}

func newEncoder() *encoder {
	return &encoder{writer: wireWriter{names: map[string]uint64{}}}
}

// encode returns a datagram. It is valid until the next call.
func (e *encoder) encode(report *Report) []byte {
	w := &e.writer
	w.reset()
	w.datagram = append(w.datagram, format)
	w.name(report.Address)
	w.number(report.Incarnation)
	w.number(report.Number)
	w.name(report.FailureDomain)
	w.number(int64(report.Capacity))
	w.number(int64(report.Known))
	w.flags(report.Leaving, report.Learned, report.Greeting, report.StoreLost)
	w.number(report.Version)
	w.number(report.Newest)
	w.number(report.AgeMS)
	e.encodeMembers(report)
	e.encodeEndpoints(report)
	return w.datagram
}

// encodeMembers packs what the report tells of other VMs.
func (e *encoder) encodeMembers(report *Report) {
	w := &e.writer
	w.count(len(report.Members))
	for _, address := range report.Members {
		w.name(address)
	}
	w.count(len(report.Pulses))
	for i := range report.Pulses {
		pulse := &report.Pulses[i]
		w.name(pulse.Address)
		w.number(pulse.Incarnation - report.Incarnation)
		w.number(pulse.AgeMS)
		w.name(pulse.FailureDomain)
		w.number(int64(pulse.Capacity))
		w.flags(pulse.Learned, pulse.Serves)
	}
}

// encodeEndpoints packs what the report tells of endpoints.
func (e *encoder) encodeEndpoints(report *Report) {
	w := &e.writer
	w.count(len(report.Told))
	for _, told := range report.Told {
		w.name(told.Endpoint)
		w.number(int64(told.Requests))
		w.number(told.AgeMS)
	}
	w.count(len(report.Work))
	for _, work := range report.Work {
		w.name(work.Endpoint)
		w.number(int64(work.Requests))
		w.number(int64(work.Reading))
	}
	w.places(report.Parts)
	w.count(len(report.Faults))
	for _, fault := range report.Faults {
		w.name(fault.Endpoint)
		w.number(int64(fault.Percent))
	}
}

// decoder unpacks reports. It is not safe for concurrent use.
type decoder struct {
	reader wireReader
}

func newDecoder() *decoder {
	return &decoder{reader: wireReader{interned: map[string]string{}}}
}

// decode returns the report of a datagram. Errors, which carry code.InvalidDocument, mean
// that it is cut, of another format, or tells what no VM would.
func (d *decoder) decode(datagram []byte) (Report, error) {
	if len(datagram) == 0 || datagram[0] != format {
		return Report{}, code.New(code.InvalidDocument, "a report has another format")
	}
	r := &d.reader
	r.reset(datagram[1:])
	var report Report
	report.Address = r.name()
	report.Incarnation = r.number()
	report.Number = r.within(0, math.MaxInt64)
	report.FailureDomain = r.name()
	report.Capacity = int(r.within(0, mostRequests))
	report.Known = int(r.within(0, memberLimit))
	r.flags(&report.Leaving, &report.Learned, &report.Greeting, &report.StoreLost)
	report.Version = r.within(0, math.MaxInt64)
	report.Newest = r.within(0, math.MaxInt64)
	report.AgeMS = r.within(-1, math.MaxInt64)
	d.decodeMembers(&report)
	d.decodeEndpoints(&report)
	if err := r.end(); err != nil {
		return Report{}, err
	}
	return report, nil
}

func (d *decoder) decodeMembers(report *Report) {
	r := &d.reader
	report.Members = makeList[string](r.entries(mostMembers))
	for i := range report.Members {
		report.Members[i] = r.name()
	}
	report.Pulses = makeList[Pulse](r.entries(mostPulses))
	for i := range report.Pulses {
		pulse := &report.Pulses[i]
		pulse.Address = r.name()
		pulse.Incarnation = report.Incarnation + r.number()
		pulse.AgeMS = r.within(0, longestAgeMS)
		pulse.FailureDomain = r.name()
		pulse.Capacity = int(r.within(0, mostRequests))
		r.flags(&pulse.Learned, &pulse.Serves)
	}
}

func (d *decoder) decodeEndpoints(report *Report) {
	r := &d.reader
	report.Told = makeList[Told](r.entries(mostEntries))
	for i := range report.Told {
		report.Told[i] = Told{Endpoint: r.name(), Requests: int(r.within(0, mostRequests)), AgeMS: r.within(0, longestAgeMS)}
	}
	report.Work = makeList[Work](r.entries(mostEntries))
	for i := range report.Work {
		report.Work[i] = Work{Endpoint: r.name(), Requests: int(r.within(0, mostRequests)), Reading: int(r.within(0, mostTokens))}
	}
	report.Parts = r.places(mostEntries)
	report.Faults = makeList[Fault](r.entries(mostEntries))
	for i := range report.Faults {
		report.Faults[i] = Fault{Endpoint: r.name(), Percent: int(r.within(0, 100))}
	}
}

// makeList returns a list of the given size, nil if it is empty.
func makeList[T any](size int) []T {
	if size == 0 {
		return nil
	}
	return make([]T, size)
}
