package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

const (
	// One of cancelOneIn requests is canceled by its caller, after at most cancelWithin.
	cancelOneIn  = 8
	cancelWithin = 60 * time.Millisecond
	// callPause is the time between two requests of a caller, callTimeout the timeout of
	// a request.
	callPause   = 10 * time.Millisecond
	callTimeout = 9 * time.Second
)

// callPaths are the paths that callers request in turn; "" stands for the path of a recent
// version.
var callPaths = []string{"/chat/1", "/roster/1", "/deposit/1", "/lookup/1", ""}

// runCaller sends one request after the other until ctx ends. It reuses connections.
func (s *soak) runCaller(ctx context.Context, number int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: callTimeout}
	for count := 0; ctx.Err() == nil; count++ {
		call := callRecord{
			id:      fmt.Sprintf("%08x%08x", number+1, count),
			path:    s.pickPath(callPaths[(number+count/3)%len(callPaths)], random),
			key:     s.pickKey(random),
			gateway: (number + count) % len(s.gateways),
		}
		cancelAfter := time.Duration(0)
		if random.IntN(cancelOneIn) == 0 {
			cancelAfter = time.Duration(random.Int64N(int64(cancelWithin)))
		}
		s.ask(client, call, cancelAfter)
		time.Sleep(callPause)
	}
}

// pickPath returns path, or the path of one of the last three versions if path is "".
func (s *soak) pickPath(path string, random *rand.Rand) string {
	if path != "" {
		return path
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return versionPath(max(1, s.version-random.Int64N(3)))
}

// pickKey returns the permanent key or a random one of all keys published so far.
func (s *soak) pickKey(random *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if random.IntN(2) == 0 {
		return hosted.Key
	}
	return fmt.Sprint("key-of-", 1+2*random.Int64N((s.version+1)/2))
}

// ask sends one request and records what the caller sees. It cancels the request after
// cancelAfter, unless that is 0.
func (s *soak) ask(client *http.Client, call callRecord, cancelAfter time.Duration) callRecord {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request := hosted.NewRequest(s.ip(call.gateway)+":7001", call.path, call.id).WithContext(ctx)
	request.GetBody = nil // Keeps net/http from resending the request.
	request.Header.Set("Authorization", "Bearer "+call.key)
	if isStream(call.path) {
		part := call.promptPart
		if part == "" {
			part = "b" + call.id[7:8]
		}
		request.Header.Set("Cardamompoint-Prompt-Prefix", "a:100,"+part+":2000,"+call.id[8:]+":10")
	}
	if cancelAfter > 0 {
		timer := time.AfterFunc(cancelAfter, cancel)
		defer timer.Stop()
	}
	call.boot, call.sent = int(s.gateways[call.gateway].boot.Load()), time.Now()
	if response, err := client.Do(request); err == nil {
		body, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		call.status, call.body, call.complete = response.StatusCode, string(body), readErr == nil
		if response.Header.Get("Server-Leaving") != "" {
			call.leaving = strings.TrimSuffix(response.Header.Get("Cardamompoint-Response-Seal"), ".seal")
		}
	}
	call.ended, call.canceled = time.Now(), ctx.Err() != nil
	if boot := int(s.gateways[call.gateway].boot.Load()); boot != call.boot {
		call.boot = -boot // Either process may have answered.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.calls = append(s.history.calls, call)
	return call
}
