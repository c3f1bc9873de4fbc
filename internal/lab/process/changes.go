package process

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// changeSettings changes the settings until each total of Plan.SettingsChanges is reached, and measures the process's memory
// at each total.
func (m *measurement) changeSettings(ctx context.Context) error {
	done := 0
	for _, total := range m.plan.SettingsChanges {
		if err := m.measureChanges(ctx, "settings", total-done, m.serveProcess.ChangeSettings); err != nil {
			return err
		}
		done = total
		if err := m.measureMemory(ctx, fmt.Sprintf("settings.%d.memory", done)); err != nil {
			return err
		}
	}
	return nil
}

// changeRoutes changes the direct response of one route Plan.RouteChanges times, and measures the process's memory after the
// last change.
func (m *measurement) changeRoutes(ctx context.Context) error {
	if m.plan.RouteChanges == 0 {
		return nil
	}
	if err := m.measureChanges(ctx, "route", m.plan.RouteChanges, m.serveProcess.ChangeRoute); err != nil {
		return err
	}
	return m.measureMemory(ctx, fmt.Sprintf("route.%d.memory", m.plan.RouteChanges))
}

// changeLists changes the endpoint list of one cluster Plan.ListChanges times, and measures the process's memory after the
// last change.
func (m *measurement) changeLists(ctx context.Context) error {
	if m.plan.ListChanges == 0 {
		return nil
	}
	n := 0
	change := func(ctx context.Context) error {
		n++
		return m.serveProcess.ChangeList(ctx, 0, n)
	}
	if err := m.measureChanges(ctx, "list", m.plan.ListChanges, change); err != nil {
		return err
	}
	return m.measureMemory(ctx, fmt.Sprintf("list.%d.memory", m.plan.ListChanges))
}

// changeFunc changes the configuration of the process and returns once the change is in force.
type changeFunc func(context.Context) error

// measureChanges makes changes one after the other, and measures the mean CPU time of a change and the times until each change
// is in force. CPU time that the process uses for the last change after it is in force is not counted.
func (m *measurement) measureChanges(ctx context.Context, kind string, count int, change changeFunc) error {
	before, err := m.serveProcess.Usage()
	if err != nil {
		return err
	}
	var times []int64 // microseconds from the start of each change until it was in force
	for range count {
		began := time.Now()
		if err := change(ctx); err != nil {
			return fmt.Errorf("change of kind %s: %w", kind, err)
		}
		times = append(times, time.Since(began).Microseconds())
	}
	after, err := m.serveProcess.Usage()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s.of_%d", kind, count)
	m.addFigure(name+".cpu_per_change", (after.CPU-before.CPU).Seconds()/float64(count), "s")
	m.addFigure(name+".in_force_p50", float64(median(times))/1e6, "s")
	m.addFigure(name+".in_force_most", float64(slices.Max(times))/1e6, "s")
	m.addMemory(name+".peak", after.Peak)
	return nil
}
