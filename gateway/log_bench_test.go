package gateway

import (
	"context"
	"flag"
	"io"
	"net/http"
	"testing"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/logsink"
)

// BenchmarkRequest measures a request through a gateway on a reused connection, including
// caller and endpoint, with and without request logging.
func BenchmarkRequest(b *testing.B) {
	sink := logsink.New(io.Discard)
	useSink(b, sink)
	f := newTestFleet(b, 1)
	client := &http.Client{}
	request := f.newRequest(context.Background(), 1, "00000000000000a1", query{path: "/open/1"})
	ask := func(b *testing.B) {
		for b.Loop() {
			response, err := client.Do(request)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	b.Run("logging=on", ask)
	b.Run("logging=off", func(b *testing.B) {
		klog.SetLogger(logr.Discard())
		defer klog.ClearLogger()
		ask(b)
	})
}

// useSink directs the output of klog to the sink, as the program does, until the benchmark
// ends.
func useSink(b *testing.B, sink *logsink.Sink) {
	flags := flag.NewFlagSet("klog", flag.PanicOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			b.Fatal(err)
		}
	}
	klog.SetOutput(sink)
	b.Cleanup(func() { klog.SetOutput(io.Discard) })
}
