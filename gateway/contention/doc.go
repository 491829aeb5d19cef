// Package contention keeps how long work takes on the hosts of endpoints at the moment, as endpoints state it
// with their answers, and estimates the delay that this adds to a request.
//
// The figure changes many times per second, so a statement decays with its age. Reports carry the statements
// that matter, since one VM hears little of each endpoint. The package reads no clock and does no I/O; callers
// pass the time in. Its types are not safe for concurrent use: package choice guards them with its lock.
package contention
