// Package plot draws lines over a common axis as SVG.
package plot

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
)

// Point is a point of a line.
type Point struct{ X, Y float64 }

// Series is a line with a name.
type Series struct {
	Name   string
	Color  string
	Points []Point
}

// Size of the drawing in pixels, and the edge around the axes.
const (
	width  = 900
	height = 320
	edge   = 50
	ticks  = 5
)

// Lines draws the series with a title.
func Lines(out io.Writer, title string, all ...Series) error {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", width, height)
	fmt.Fprintf(&buf, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="20">%s</text>`+"\n", edge, escaped(title))
	box := bounds(all)
	box.axes(&buf)
	for num, ser := range all {
		fmt.Fprintf(&buf, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="`, escaped(ser.Color))
		for _, pnt := range ser.Points {
			fmt.Fprintf(&buf, "%.1f,%.1f ", box.x(pnt.X), box.y(pnt.Y))
		}
		fmt.Fprintf(&buf, `"/><text x="%d" y="%d" fill="%s">%s</text>`+"\n", width-edge-80, 20+16*num, escaped(ser.Color), escaped(ser.Name))
	}
	buf.WriteString("</svg>\n")
	_, err := buf.WriteTo(out)
	return err
}

// box is the range of the values.
type box struct{ left, right, top float64 }

func bounds(all []Series) box {
	var out box
	first := true
	for _, ser := range all {
		for _, pnt := range ser.Points {
			if first {
				out.left, out.right, first = pnt.X, pnt.X, false
			}
			out.left, out.right, out.top = min(out.left, pnt.X), max(out.right, pnt.X), max(out.top, pnt.Y)
		}
	}
	if out.right == out.left {
		out.right++
	}
	if out.top == 0 {
		out.top = 1
	}
	return out
}

func (box box) x(val float64) float64 {
	return edge + (val-box.left)/(box.right-box.left)*(width-2*edge)
}

func (box box) y(val float64) float64 { return height - edge - val/box.top*(height-2*edge) }

func (box box) axes(out io.Writer) {
	for num := range ticks + 1 {
		part := float64(num) / ticks
		xval, yval := box.left+part*(box.right-box.left), part*box.top
		fmt.Fprintf(out, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/>`, edge, width-edge, box.y(yval), box.y(yval))
		fmt.Fprintf(out, `<text x="5" y="%.1f">%.4g</text><text x="%.1f" y="%d">%.4g</text>`+"\n", box.y(yval), yval, box.x(xval), height-edge+18, xval)
	}
}

func escaped(txt string) string {
	var buf bytes.Buffer
	if err := xml.EscapeText(&buf, []byte(txt)); err != nil {
		panic("plot: escape: " + err.Error()) // a buffer takes everything
	}
	return buf.String()
}
