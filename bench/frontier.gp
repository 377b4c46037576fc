# gnuplot -e "data='FILE'; out='docs/frontier.svg'" bench/frontier.gp
set terminal svg size 760,420 background '#ffffff'
set output out
set xlabel 'spill share of the buckets'
set ylabel 'imbalance, max/mean'
set y2label 'flows broken by three crashes, per mille'
set y2tics
set ytics nomirror
set key top center
plot data using 1:5 with linespoints title 'load', \
     data using 1:6 with linespoints title 'load, 10 % noise', \
     data using 1:4 with linespoints title 'flows', \
     data using 1:($3*1000) axes x1y2 with linespoints title 'broken'
