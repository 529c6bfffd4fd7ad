package main

import (
	_ "embed"
	"html/template"
	"os"
	"slices"

	"github.com/pkg/errors"

	"hyssopcroft.example/kernel/timeline"
)

//go:embed timeline.html.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("timeline").Parse(pageSource))

// Sizes of the drawing in pixels.
const (
	laneHeight = 40
	labelWidth = 180
	eventWidth = 26
	topMargin  = 24
)

// page is what the template draws. Events are one step apart in the order of their stamps, because
// those of one query lie within milliseconds and the others minutes apart.
type page struct {
	Left, Width, Height int // Left is the start of the lanes
	Lanes               []lane
	Events              []eventMark
}

type lane struct {
	Name string
	Y    int
}

// eventMark is one event in its lane.
type eventMark struct {
	timeline.Event
	Number, X, Y int
}

func newPage(events []timeline.Event) page {
	var names []string
	for _, ev := range events {
		names = append(names, ev.Process)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	p := page{Left: labelWidth, Width: labelWidth + (len(events)+1)*eventWidth, Height: topMargin + len(names)*laneHeight}
	for i, name := range names {
		p.Lanes = append(p.Lanes, lane{Name: name, Y: topMargin + i*laneHeight})
	}
	for i, ev := range events {
		row, _ := slices.BinarySearch(names, ev.Process)
		p.Events = append(p.Events, eventMark{Event: ev, Number: i + 1, X: labelWidth + (i+1)*eventWidth, Y: topMargin + row*laneHeight})
	}
	return p
}

// writePage writes one page that needs no other file.
func writePage(file string, events []timeline.Event) error {
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create page")
	}
	err = pageTemplate.Execute(out, newPage(events))
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "write page")
}
