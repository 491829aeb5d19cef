package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// storeTest is a Store that serves over HTTP.
type storeTest struct {
	*testing.T
	store  *Store
	server *httptest.Server
}

// storeResponse is a response of the store.
type storeResponse struct {
	status   int
	era      string
	Items    []item `json:"items"`
	Events   []item `json:"events"`
	Revision int64  `json:"asOf"`
}

func newStoreTest(t *testing.T) *storeTest {
	test := &storeTest{T: t, store: NewStore()}
	test.server = httptest.NewServer(test.store)
	t.Cleanup(test.server.Close)
	return test
}

// get makes a call. It fails if there is no response.
func (t *storeTest) get(path string) (storeResponse, error) {
	response, err := http.Get(t.server.URL + path)
	if err != nil {
		return storeResponse{}, err
	}
	defer response.Body.Close()
	got := storeResponse{status: response.StatusCode, era: response.Header.Get(eraHeader)}
	if response.StatusCode == http.StatusOK {
		err = json.NewDecoder(response.Body).Decode(&got)
	}
	return got, err
}

// mustGet does the same as get and fails the test if there is no response.
func (t *storeTest) mustGet(path string) storeResponse {
	t.Helper()
	got, err := t.get(path)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func watchPath(after int64, wait time.Duration) string {
	return fmt.Sprintf("/-/kv-watch?prefix=&after=%d&waitMs=%d", after, wait.Milliseconds())
}

// TestEraIsInAllResponses checks the era of successful and failed calls before and after two
// returns from a copy.
func TestEraIsInAllResponses(t *testing.T) {
	test := newStoreTest(t)
	for era := firstEra; era <= firstEra+2; era++ {
		test.checkEras(fmt.Sprint(era))
		test.store.Restore(test.store.Copy())
	}
}

func (t *storeTest) checkEras(want string) {
	t.Helper()
	t.store.Put("a", nil)
	for path, status := range map[string]int{
		"/-/kv-range?prefix=": http.StatusOK,
		watchPath(1, 0):       http.StatusOK,
		watchPath(1000, 0):    http.StatusGone,
		"/-/unknown":          http.StatusNotFound,
	} {
		if got := t.mustGet(path); got.era != want || got.status != status {
			t.Errorf("%s: era %q, status %d, want era %q, status %d", path, got.era, got.status, want, status)
		}
	}
	t.store.SetFault(FaultUnavailable)
	if got := t.mustGet(watchPath(1, 0)); got.era != want || got.status != http.StatusServiceUnavailable {
		t.Errorf("unavailable: era %q, status %d", got.era, got.status)
	}
	t.store.SetFault(FaultNone)
}

// TestRestoreBringsBackTheCopy checks items, revisions and history after a return from a copy:
// later changes are gone and their revisions are used again.
func TestRestoreBringsBackTheCopy(t *testing.T) {
	test := newStoreTest(t)
	test.store.Put("kept", []byte("1"))
	copied := test.store.Put("changed", []byte("old"))
	contents := test.store.Copy()
	test.store.Put("changed", []byte("new"))
	test.store.Put("added", nil)
	test.store.Delete("kept")
	test.store.Compact()
	test.store.Restore(contents)

	got := test.mustGet("/-/kv-range?prefix=")
	if len(got.Items) != 2 || string(got.Items[0].Value) != "old" || got.Items[1].Key != "kept" || got.Revision != copied {
		t.Errorf("after the return: %+v", got)
	}
	if got := test.mustGet(watchPath(1, 0)); len(got.Events) != 2 || got.Revision != copied {
		t.Errorf("history: %+v", got)
	}
	if got := test.mustGet(watchPath(copied+1, 0)); got.status != http.StatusGone {
		t.Errorf("a watch from a lost revision got status %d", got.status)
	}
	if again := test.store.Put("added", nil); again != copied+1 {
		t.Errorf("the next revision is %d, want %d", again, copied+1)
	}
	if got := test.mustGet(watchPath(copied, 0)); len(got.Events) != 1 || got.Events[0].Key != "added" {
		t.Errorf("changes after the return: %+v", got)
	}
}

// TestCopyStaysAsItWas restores the same copy twice, with changes between.
func TestCopyStaysAsItWas(t *testing.T) {
	test := newStoreTest(t)
	revision := test.store.Put("a", []byte("old"))
	contents := test.store.Copy()
	for range 2 {
		test.store.Put("a", []byte("new"))
		test.store.Restore(contents)
		if got := test.mustGet(watchPath(1, 0)); len(got.Events) != 1 || string(got.Events[0].Value) != "old" || got.Revision != revision {
			t.Errorf("after the return: %+v", got)
		}
	}
}

// TestRestoreCutsWaitingWatches checks that a watch which waits during the return gets no
// response.
func TestRestoreCutsWaitingWatches(t *testing.T) {
	test := newStoreTest(t)
	revision := test.store.Put("a", nil)
	contents := test.store.Copy()
	const wait = 30 * time.Second
	ended := make(chan error, 1)
	go func() {
		_, err := test.get(watchPath(revision, wait))
		ended <- err
	}()
	for {
		test.store.Restore(contents)
		select {
		case err := <-ended:
			if err == nil {
				t.Error("the watch got a response")
			}
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// TestWritersWriteAgainAfterRestore checks which entries and which configuration are there when
// the operator and the live endpoints have written again: an endpoint that left before the return
// is back, one that started after the copy is there, and sequences go on.
func TestWritersWriteAgainAfterRestore(t *testing.T) {
	store := NewStore()
	configuration := DefaultConfiguration()
	store.Publish(configuration)
	store.PutEndpoint("same", "plain", "a:1", "ready")
	store.PutEndpoint("left", "plain", "a:2", "ready")
	store.PutEndpoint("draining", "plain", "a:3", "ready")
	contents := store.Copy()
	unchanged := store.items[endpointPrefix+"same"].Revision
	configuration.Version = 2
	store.Publish(configuration)
	store.DeleteEndpoint("left")
	store.PutEndpoint("draining", "plain", "a:3", "draining")
	store.PutEndpoint("new", "plain", "a:4", "ready")
	store.PutEndpoint("crashed", "plain", "a:5", "ready")
	store.StopEndpoint("crashed")

	store.Restore(contents)
	store.RewriteConfiguration()
	store.RewriteEndpoints()
	var stored Configuration
	if err := json.Unmarshal(store.items[configurationKey].Value, &stored); err != nil || stored.Version != 2 {
		t.Errorf("version %d, %v", stored.Version, err)
	}
	if _, ok := store.items[endpointPrefix+"crashed"]; ok {
		t.Error("a crashed endpoint wrote its entry again")
	}
	states := map[string]string{}
	sequences := map[string]int64{}
	for _, id := range []string{"same", "left", "draining", "new"} {
		var entry struct {
			State    string `json:"state"`
			Sequence int64  `json:"sequence"`
		}
		if err := json.Unmarshal(store.items[endpointPrefix+id].Value, &entry); err != nil {
			t.Errorf("%s: %v", id, err)
		}
		states[id], sequences[id] = entry.State, entry.Sequence
	}
	if want := (map[string]string{"same": "ready", "left": "ready", "draining": "draining", "new": "ready"}); fmt.Sprint(states) != fmt.Sprint(want) {
		t.Errorf("states %v, want %v", states, want)
	}
	if sequences["draining"] != 3 || sequences["new"] != 2 {
		t.Errorf("sequences %v", sequences)
	}
	if store.items[endpointPrefix+"same"].Revision != unchanged {
		t.Error("an entry that is the same was written again")
	}
}

// TestStartsUnderTheSameIDDiffer checks that only an endpoint that was restarted has another
// start time, and counts its entries anew.
func TestStartsUnderTheSameIDDiffer(t *testing.T) {
	store := NewStore()
	born := func() int64 {
		store.PutEndpoint("a", "plain", "a:1", "ready")
		return store.registrations["a"].bornMS
	}
	first, second := born(), born()
	store.ExpireEndpoint("a")
	third := born()
	store.DeleteEndpoint("a")
	fourth := born()
	if first == 0 || second != first || third != first || fourth != first {
		t.Errorf("started at %d, %d, %d, %d", first, second, third, fourth)
	}
	store.RestartEndpoint("a")
	if restarted := store.registrations["a"]; restarted.bornMS <= first || restarted.sequence != 1 || restarted.address != "a:1" {
		t.Errorf("after the restart: %+v", restarted)
	}
}
