package dispatch

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/tables"
)

// A modelFleet is upstreams that each serve some models, and reject calls for others.
type modelFleet struct {
	dispatcher *Dispatcher
	serves     map[tables.UpstreamID][]tables.ModelID
	requests   int
}

// drawModelFleet draws which upstream serves which of the models.
func drawModelFleet(rt *rapid.T, models []tables.ModelID) *modelFleet {
	entries := newUpstreams("v1", rapid.IntRange(1, 12).Draw(rt, "upstreams"))
	f := &modelFleet{dispatcher: newDispatcher(entries...), serves: map[tables.UpstreamID][]tables.ModelID{}}
	for _, entry := range entries {
		f.serves[entry.ID] = rapid.SliceOfDistinct(rapid.SampledFrom(models), rapid.ID[tables.ModelID]).Draw(rt, string(entry.ID))
	}
	return f
}

// isServed reports whether an upstream serves the model.
func (f *modelFleet) isServed(model tables.ModelID) bool {
	for _, models := range f.serves {
		if slices.Contains(models, model) {
			return true
		}
	}
	return false
}

// serve sends a request that names a model, and reports whether it is served.
func (f *modelFleet) serve(t *testing.T, model tables.ModelID) bool {
	t.Helper()
	f.requests++
	route := newRoute(catalog.Safe)
	route.Models = nil
	task := mustAdmit(t, f.dispatcher, route, strconv.Itoa(f.requests))
	task.Request.Model = model
	for {
		call, fault := f.dispatcher.NextCall(now, task)
		if fault != nil {
			return false
		}
		if slices.Contains(f.serves[call.Upstream.ID], model) {
			f.dispatcher.EndCall(now, task, call, Served)
			return true
		}
		f.dispatcher.EndCall(now, task, call, Misdirected)
	}
}

// TestModelsAreServedWhereTheyAre guards against upstreams that are out of use for the models
// that they serve, whatever others callers have named before. It draws which upstream serves
// which models, and what the callers name.
func TestModelsAreServedWhereTheyAre(t *testing.T) {
	served := []tables.ModelID{"small", "large"}
	named := append(slices.Clip(served), "former", "other")
	rapid.Check(t, func(rt *rapid.T) {
		f := drawModelFleet(rt, served)
		for range rapid.IntRange(0, 60).Draw(rt, "requests before") {
			f.serve(t, rapid.SampledFrom(named).Draw(rt, "model"))
		}
		for _, model := range served {
			// Each request learns of one upstream at least.
			for range f.serves {
				f.serve(t, model)
			}
			if f.isServed(model) != f.serve(t, model) {
				rt.Fatalf("model %s is served by an upstream: %t, but not so for a caller", model, f.isServed(model))
			}
		}
	})
}
