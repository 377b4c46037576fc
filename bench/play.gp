# gnuplot -e "new='FILE'; old='FILE'; out='docs/overload.svg'" bench/play.gp
set terminal svg size 760,420 background '#ffffff'
set output out
set xlabel 'load, multiples of the usual one'
set ylabel 'worth served in time, multiples of the usual one'
set key top left
plot new using 1:($1*$2) with linespoints title 'by pending requests', \
     old using 1:($1*$2) with linespoints title 'by answer times', \
     new using 1:1 with lines dashtype 2 title 'demand'
