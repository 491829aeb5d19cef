// Package logsink writes log lines without ever blocking the caller: a goroutine writes
// them from a bounded buffer. Lines that exceed the buffer or the limits for a second are
// dropped; a later line reports their number.
package logsink
