use super::{KEEP_FOR, MAX_REPORTED, REPEATS, Unreported};
use std::time::Instant;

#[test]
fn each_program_is_told_twice_and_then_no_more() {
    let now = Instant::now();
    let mut unreported = Unreported::default();
    unreported.add_begun(now, 7, 2_000);
    unreported.add_refused(now, 8);
    for _ in 0..REPEATS {
        let news = unreported.next_report(now).expect("news");
        assert_eq!((news.begun, news.refused), (vec![(7, 2_000)], vec![8]));
    }
    assert_eq!(unreported.next_report(now), None);
}

#[test]
fn old_news_is_dropped_and_its_number_is_bounded() {
    let now = Instant::now();
    let mut unreported = Unreported::default();
    for program in 0..3 * MAX_REPORTED as u32 {
        unreported.add_refused(now, program);
    }
    let news = unreported.next_report(now).expect("news");
    assert_eq!(news.refused.len(), MAX_REPORTED);
    assert_eq!(unreported.next_report(now + KEEP_FOR), None);
}
