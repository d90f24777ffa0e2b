import t from 'tap';
import {testFolder} from './_test-folder.ts';

testFolder(t, 'customers');
