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

// Dimensions of the drawing, in pixels.
const (
	laneHeight = 40
	labelWidth = 180
	eventWidth = 26
	topMargin  = 24
)

// page is the input of pageTemplate. Events are spaced evenly in the order of their stamps rather than by time,
// because events of one query are milliseconds apart and others minutes.
type page struct {
	Left, Width, Height int // Left is the x coordinate at which the lanes start
	Lanes               []lane
	Events              []eventMark
}

// lane is the row of the events of one process.
type lane struct {
	Name string
	Y    int
}

// eventMark is one event and its position in the drawing.
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
		p.Events = append(p.Events, eventMark{
			Event: ev, Number: i + 1, X: labelWidth + (i+1)*eventWidth, Y: topMargin + row*laneHeight,
		})
	}
	return p
}

// writePage writes the events as an HTML page that needs no other file.
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
