// Package jsonhttp sends and receives JSON over HTTP between processes.
package jsonhttp
