// Package logsink writes log lines without ever blocking the caller: a goroutine writes
// them from a bounded buffer. Lines that exceed the buffer or the limits for a second are
// dropped, and a line tells how many.
package logsink
