package plot

import (
	"encoding/xml"
	"fmt"
	"io"
	"math"
	"strings"
)

// Point is one value of a line.
type Point struct {
	X, Y float64
}

// Line is a named series of points in order of X.
type Line struct {
	Name   string
	Points []Point
}

// Chart is a line chart with a linear X axis and a logarithmic Y axis.
type Chart struct {
	Title, XLabel, YLabel string
	Lines                 []Line
}

// The layout of a chart in pixels: its size, its margins, and the rows of the legend.
const (
	width      = 760
	height     = 420
	left       = 70
	right      = 220
	top        = 40
	bottom     = 50
	rowHeight  = 18
	plotWidth  = width - left - right
	plotHeight = height - top - bottom
)

var colours = []string{"#1b6ca8", "#c0392b", "#27875a", "#8e44ad", "#b9770e", "#444444", "#16a085"}

// scale holds the ranges of the axes and maps values to pixels.
type scale struct {
	minX, maxX, minY, maxY float64
}

// WriteSVG writes the chart.
func (c *Chart) WriteSVG(w io.Writer) error {
	s := c.scale()
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" `+
		`font-size="12">`+"\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n", width, height)
	text(&b, left, top-15, "start", c.Title)
	text(&b, left+plotWidth/2, height-12, "middle", c.XLabel)
	text(&b, 8, top-15, "start", c.YLabel)
	s.writeAxes(&b)
	for i := range c.Lines {
		s.writeLine(&b, i, &c.Lines[i])
	}
	b.WriteString("</svg>\n")
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write chart: %w", err)
	}
	return nil
}

// scale returns the ranges of the axes. The range of Y is extended to whole powers of ten.
func (c *Chart) scale() scale {
	s := scale{minX: math.Inf(1), maxX: math.Inf(-1), minY: math.Inf(1), maxY: math.Inf(-1)}
	for _, l := range c.Lines {
		for _, p := range l.Points {
			s.minX, s.maxX = min(s.minX, p.X), max(s.maxX, p.X)
			if p.Y > 0 {
				s.minY, s.maxY = min(s.minY, p.Y), max(s.maxY, p.Y)
			}
		}
	}
	if s.minX >= s.maxX {
		s.minX, s.maxX = s.minX-1, s.minX+1
	}
	if math.IsInf(s.minY, 1) {
		s.minY, s.maxY = 1, 1
	}
	s.minY = math.Pow(10, math.Floor(math.Log10(s.minY)))
	s.maxY = math.Pow(10, math.Floor(math.Log10(s.maxY))+1)
	return s
}

func (s *scale) x(v float64) float64 {
	return left + plotWidth*(v-s.minX)/(s.maxX-s.minX)
}

func (s *scale) y(v float64) float64 {
	v = max(v, s.minY)
	return top + plotHeight*(1-math.Log(v/s.minY)/math.Log(s.maxY/s.minY))
}

// writeAxes writes a grid line with a label for each power of ten, five labels below the X axis, and the axes.
func (s *scale) writeAxes(b *strings.Builder) {
	for v := s.minY; v <= s.maxY*1.001; v *= 10 {
		y := s.y(v)
		fmt.Fprintf(b, `<path d="M%d %.1f H%d" stroke="#ddd"/>`+"\n", left, y, left+plotWidth)
		text(b, left-6, int(y)+4, "end", fmt.Sprintf("%g", v))
	}
	for i := range 5 {
		v := s.minX + (s.maxX-s.minX)*float64(i)/4
		text(b, int(s.x(v)), top+plotHeight+18, "middle", fmt.Sprintf("%.3g", v))
	}
	fmt.Fprintf(b, `<path d="M%d %d V%d H%d" stroke="black" fill="none"/>`+"\n", left, top, top+plotHeight,
		left+plotWidth)
}

// writeLine writes the i-th line and its row in the legend.
func (s *scale) writeLine(b *strings.Builder, i int, l *Line) {
	k := colours[i%len(colours)]
	var p []string
	for _, q := range l.Points {
		p = append(p, fmt.Sprintf("%.1f,%.1f", s.x(q.X), s.y(q.Y)))
	}
	fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`+"\n", strings.Join(p, " "), k)
	y := top + i*rowHeight
	fmt.Fprintf(b, `<path d="M%d %d h20" stroke="%s" stroke-width="2"/>`+"\n", left+plotWidth+10, y, k)
	text(b, left+plotWidth+36, y+4, "start", l.Name)
}

// text writes an escaped text at a position.
func text(b *strings.Builder, x, y int, anchor, t string) {
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="%s">`, x, y, anchor)
	_ = xml.EscapeText(b, []byte(t))
	b.WriteString("</text>\n")
}
