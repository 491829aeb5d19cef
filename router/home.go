package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/endpoint"
)

const workPath = "/peer/v1/work"

// workOrder asks an engine's home to run work there.
type workOrder struct {
	// Engine is the engine's address.
	Engine string `json:"engine"`
	// Work is the work.
	Work endpoint.Work `json:"work"`
	// DeadlineMS is the time left, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// runAtHome admits work to an engine that this router manages and relays its
// answer to sink.
func (r *Router) runAtHome(ctx context.Context, order workOrder, sink endpoint.Sink) error {
	if err := r.sleeper.Await(ctx.Done()); err != nil {
		return err
	}
	reservation, err := r.admitWork(order)
	if err != nil {
		klog.Infof("place: request %s is not admitted to %s: %v.", order.Work.RequestID, order.Engine, err)
		return err
	}
	defer reservation.Release()
	klog.Infof("place: request %s is admitted to %s.", order.Work.RequestID, order.Engine)
	err = r.engine.Generate(ctx, order.Engine, order.Work, sink)
	if err != nil {
		r.cancelStream(order.Engine, order.Work.StreamID)
	}
	return err
}

// cancelStream ends a stream whose answer nobody waits for.
func (r *Router) cancelStream(engine, streamID string) {
	if err := r.engine.Cancel(context.Background(), engine, streamID); err != nil {
		klog.Infof("place: stream %s at %s can't be canceled: %v.", streamID, engine, err)
	}
}

// serveWork answers a workOrder with JSON lines.
func (r *Router) serveWork(w http.ResponseWriter, request *http.Request, order workOrder) {
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(order.DeadlineMS)*time.Millisecond)
	defer cancel()
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	started := false
	err := r.runAtHome(ctx, order, func(line endpoint.Line) error {
		started = true
		if err := encoder.Encode(line); err != nil {
			return err
		}
		return control.Flush()
	})
	if err == nil {
		return
	}
	writeLineError(w, encoder, order.Work, started, err)
}

// writeLineError answers with err: as an HTTP error if no line was sent, else
// as the closing line.
func writeLineError(w http.ResponseWriter, encoder *json.Encoder, work endpoint.Work, started bool, err error) {
	coded := code.Of(err)
	if !started {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(code.Describe(coded.Code).Status)
		encoder.Encode(struct {
			Error *code.Error `json:"error"`
		}{coded})
		return
	}
	encoder.Encode(endpoint.Line{RequestID: work.RequestID, StreamID: work.StreamID, Error: coded})
}
