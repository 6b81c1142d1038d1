package shifts

import (
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// experts returns the model of a group's experts. bytes is in MB and rate in
// Mbit/s.
func experts(layers, perLayer, slots, spare int, bytes, rate float64) route.Experts {
	return route.Experts{
		Layers: layers, ExpertsPerLayer: perLayer, SlotsPerRank: slots, SpareSlots: spare,
		ExpertBytes: int64(bytes * 1e6), LoadBytesPerSecond: rate * 1e6 / 8, WorkShare: 0.85,
	}
}

// Groups are groups of several sizes, with loads from 6 ms to 0.4 s an expert.
var Groups = []Group{
	{Name: "8 ranks, 6 x 64, 50 ms", Ranks: 8, Experts: experts(6, 64, 11, 4, 580, 92000), Requests: 70, Passes: 28, Exponent: 1.5, Common: 0.65, Topics: 9, Shift: 3500 * time.Millisecond, Share: 0.65, Pass: 45 * time.Millisecond},
	{Name: "12 ranks, 3 x 96, 400 ms", Ranks: 12, Experts: experts(3, 96, 11, 4, 2200, 44000), Requests: 100, Passes: 26, Exponent: 1.3, Common: 0.75, Topics: 9, Shift: 4 * time.Second, Share: 0.65, Pass: 40 * time.Millisecond},
	{Name: "32 ranks, 12 x 128, 13 ms", Ranks: 32, Experts: experts(12, 128, 5, 2, 150, 92000), Requests: 200, Passes: 23, Exponent: 0.79, Common: 0.65, Topics: 9, Shift: 3500 * time.Millisecond, Share: 0.65, Pass: 55 * time.Millisecond},
	{Name: "24 ranks, 16 x 96, 76 ms", Ranks: 24, Experts: experts(16, 96, 5, 2, 420, 44000), Requests: 180, Passes: 23, Exponent: 0.94, Common: 0.75, Topics: 9, Shift: 3300 * time.Millisecond, Share: 0.6, Pass: 50 * time.Millisecond},
	{Name: "32 ranks, 12 x 128, 36 ms", Ranks: 32, Experts: experts(12, 128, 5, 2, 400, 89000), Requests: 240, Passes: 23, Exponent: 0.94, Common: 0.65, Topics: 9, Shift: 3 * time.Second, Share: 0.62, Pass: 55 * time.Millisecond},
	{Name: "72 ranks, 12 x 144, 16 ms", Ranks: 72, Experts: experts(12, 144, 3, 2, 370, 180000), Requests: 500, Passes: 23, Exponent: 0.54, Common: 0.75, Topics: 9, Shift: 3500 * time.Millisecond, Share: 0.65, Pass: 50 * time.Millisecond},
	{Name: "96 ranks, 16 x 192, 6 ms", Ranks: 96, Experts: experts(16, 192, 3, 2, 73, 92000), Requests: 500, Passes: 17, Exponent: 0.51, Common: 0.65, Topics: 9, Shift: 3800 * time.Millisecond, Share: 0.6, Pass: 60 * time.Millisecond},
}
