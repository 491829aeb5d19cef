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
	// leaveOneIn is how many requests there are for each whose caller goes away
	// early, after leaveWithin at most.
	leaveOneIn  = 8
	leaveWithin = 60 * time.Millisecond
	// soakPause is the time between two requests of a caller, soakTimeout the
	// longest that it waits.
	soakPause   = 10 * time.Millisecond
	soakTimeout = 9 * time.Second
)

// soakPaths are asked for in turn; an empty one stands for a version's own path.
var soakPaths = []string{"/chat/1", "/roster/1", "/deposit/1", "/lookup/1", ""}

// call asks one request after the other on kept connections.
func (s *soak) call(ctx context.Context, number int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: soakTimeout}
	for count := 0; ctx.Err() == nil; count++ {
		call := soakCall{
			id:      fmt.Sprintf("%08x%08x", number+1, count),
			path:    s.pathOf(soakPaths[(number+count/3)%len(soakPaths)], random),
			key:     s.keyOf(random),
			gateway: (number + count) % len(s.gateways),
		}
		leave := time.Duration(0)
		if random.IntN(leaveOneIn) == 0 {
			leave = time.Duration(random.Int64N(int64(leaveWithin)))
		}
		s.ask(client, call, leave)
		time.Sleep(soakPause)
	}
}

// pathOf replaces an empty path by one of the last versions' paths.
func (s *soak) pathOf(path string, random *rand.Rand) string {
	if path != "" {
		return path
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return versionPath(max(1, s.version-random.Int64N(3)))
}

// keyOf returns the lasting key or one that was ever published.
func (s *soak) keyOf(random *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if random.IntN(2) == 0 {
		return hosted.Key
	}
	return fmt.Sprint("key-of-", 1+2*random.Int64N((s.version+1)/2))
}

// ask sends one request and records what the caller sees. The caller goes away
// after leave, unless that is 0.
func (s *soak) ask(client *http.Client, call soakCall, leave time.Duration) soakCall {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request := hosted.NewRequest(s.ip(call.gateway)+":7001", call.path, call.id).WithContext(ctx)
	request.GetBody = nil // The library must not send a request again by itself.
	request.Header.Set("Authorization", "Bearer "+call.key)
	if isStream(call.path) {
		request.Header.Set("Cardamompoint-Prompt-Prefix", "a:100,b"+call.id[7:8]+":2000,"+call.id[8:]+":10")
	}
	if leave > 0 {
		timer := time.AfterFunc(leave, cancel)
		defer timer.Stop()
	}
	call.boot, call.sent = int(s.gateways[call.gateway].boot.Load()), time.Now()
	if response, err := client.Do(request); err == nil {
		body, failed := io.ReadAll(response.Body)
		response.Body.Close()
		call.status, call.body, call.whole = response.StatusCode, string(body), failed == nil
		if response.Header.Get("Server-Leaving") != "" {
			call.leaving = strings.TrimSuffix(response.Header.Get("Cardamompoint-Response-Seal"), ".seal")
		}
	}
	call.ended, call.left = time.Now(), ctx.Err() != nil
	if boot := int(s.gateways[call.gateway].boot.Load()); boot != call.boot {
		call.boot = -boot // It is not known which process answered.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.calls = append(s.history.calls, call)
	return call
}
