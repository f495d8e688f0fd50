; Operators' settings that enable the operators' port and disruption budgets:
; python3 run.py --config settings.toml --operator deploy/upkeep.sexp
; Settings that are not named here have the defaults listed in operator.sexp.
(dunehold
  (operator-port 8082)        ; on the host of peer_bind; 0: orders are not accepted
  (disruption                 ; how much may be stopped or moved by choice at one time
    (default
      (tasks "10%")           ; share of a team's tasks on machines; a plain number is a count
      (cpus "10%")            ; share of the CPUs that a team uses on machines
      (replicas 1)            ; replicas of each service
      (least-up "50%")        ; share of each service's replicas that stays up
      (window-s 60))          ; a disruption counts at least this long, and until its task runs
    ; (team "NAME" (cpus 40) (tasks 8))
    (bind-all 0)))            ; 1: the scheduler's moves and preemption also keep to the budgets
